#!/bin/bash
# A proxy in standby goes on serving clients that have a further command under way whenever an answer comes.
. "$(dirname "$0")/../stand-ins-2/run-case.sh"
play standby

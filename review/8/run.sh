#!/bin/bash
# A plain statement that writes is taken for a read, and is run again where a connection breaks under it.
. "$(dirname "$0")/../stand-ins-2/run-case.sh"
play explained

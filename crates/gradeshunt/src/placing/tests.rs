//! Tests of the part named by the folder.

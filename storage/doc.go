// Package storage reads and writes the data folder of an instance: its identity,
// the replicated log in checksummed segment files, and the newest snapshot.
//
// The folder holds these files:
//
//	lock                     held while a process uses the folder
//	identity                 instance name and incarnation of the folder
//	log-<number>.seg         records in the order in which they were written
//	snapshot-<index>.snap    one record
//	set-aside-<name>/        files that Open or SetAside moved here
//
// A record is a header of 13 bytes (length, kind, CRC32C of the body, CRC32C of
// the header, little endian), the body, and an end mark that is not zero. What
// a crash leaves of an unsynced write is a prefix of a record or a run of
// zeros: such a tail of the last segment is truncated. Everything else that
// fails its checksum is reported as a CorruptionError.
//
// Save returns after its records are synced. A full disk gives a DiskFullError;
// the records of that call are removed from the segment again, and the call
// may be repeated. After any other error Save fails until the folder is opened
// again, because the contents of the folder are unknown.
package storage

// Package settings reads folders of INI files: the settings of one daemon and
// the system configuration that all instances share.
//
// The files of a folder whose names end in ".ini" are merged in the order of
// their names; a later file overrides single keys of earlier files or adds to
// them. Every effective value has an origin. The keys, with their defaults,
// units and ranges, are declared in one table (see Schemas), from which the
// reference page is written. A folder is either accepted as a whole or rejected
// with all of its problems.
package settings

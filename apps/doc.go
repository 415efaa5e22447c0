// Package apps contains the programs, one folder each.
package apps

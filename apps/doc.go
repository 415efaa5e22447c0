// Package apps holds the programs, each a thin main in its own folder.
package apps

// Package logging writes one line of key=value pairs per event.
package logging

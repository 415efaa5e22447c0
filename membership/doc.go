// Package membership decides which instances are alive. It does no I/O.
package membership

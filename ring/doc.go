// Package ring is the bounded ring buffer that joins goroutines.
package ring

// Package ring is a bounded ring buffer that passes elements between goroutines.
package ring

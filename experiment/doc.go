// Package experiment generates load and compares policies.
package experiment

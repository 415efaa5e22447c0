// Package emulator is a stand-in for a target.
package emulator

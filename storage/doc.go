// Package storage keeps the data folder of an instance.
package storage

// Package experiment compares dispatch policies in virtual time and generates
// load against running instances. Experiments drive real dispatch cores over a
// service-time model of targets; they are no simulation of a cluster.
package experiment

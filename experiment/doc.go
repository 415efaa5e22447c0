// Package experiment compares dispatch policies in virtual time and generates
// load for running instances. Experiments drive real dispatch cores with a
// service-time model of targets; they do not simulate a whole cluster.
package experiment

// Package server joins the cores to sockets, timers and files.
package server

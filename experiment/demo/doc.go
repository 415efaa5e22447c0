// Package demo submits jobs of several classes through the entry instances of
// two data centres, resubmits some of them elsewhere, and checks the answers
// against the targets' own start records.
package demo

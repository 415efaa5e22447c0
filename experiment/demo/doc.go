// Package demo submits jobs of several classes through the entry instances of
// two data centres, resubmits some of them through other entry instances, and
// checks the answers against the targets' start records.
package demo

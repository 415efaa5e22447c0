// Package structs holds the types that several modules share: jobs, tasks,
// answers, targets, the system configuration and typed errors. It has no
// behaviour beyond parsing, validation and formatting.
package structs

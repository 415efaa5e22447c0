// Package integration tests the guarantees of docs/design.md with real
// processes. Its helpers start hawthornd and hawthorn-target on 127.0.0.1,
// place fault-injecting proxies between them, submit jobs, and compare the
// answers with the targets' start records.
package integration

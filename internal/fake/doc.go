// Package fake simulates the systems outside the controllers: the key-value store, the cloud,
// the agents on the machines, the users, and the network between them. It is for tests only.
// Each fake implements the other side of a protocol independently of the controllers. Tests
// run the real controllers against the fakes in synthetic time. The network can cut links, and
// delay and duplicate messages, and a test can inject faults into every fake.
//
// A checker in the same package compares the answers to users and the tasks on machines with
// the rules, such as "no task runs twice" and "no team exceeds its quota". A test fails if
// Violations is not empty.
package fake

// Package fake simulates the systems outside the controllers: the key-value store, the cloud,
// the agents on the machines, the users, and the network between them. It is for tests only.
// Each fake implements the other side of a protocol independently of the controllers, so that
// a test runs the real controllers against it in synthetic time. The network can cut, delay
// and repeat messages, and every fake can be told to fail.
//
// A checker in the same package compares what users and machines see with the rules, such as
// "no task runs twice" and "no team exceeds its quota". A test fails if Violations is not empty.
package fake

// Package fake holds stand-ins for the state service, the cloud, workers and
// users, written from PROTOCOL, with a network between them that can be cut and
// that holds and repeats messages. Tests run the real controllers against them
// in synthetic time, and a checker judges each run by the rules.
package fake

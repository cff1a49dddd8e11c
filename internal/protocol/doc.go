// Package protocol holds the messages that controllers exchange with users, agents, the
// cloud and the key-value store, in one file for each of these interfaces, and the
// identifiers in the messages. The field names and values that the interfaces prescribe are
// in the struct tags, in the values of constants and in the decoder of submissions. URL
// paths are in the packages of the clients and in internal/api.
package protocol

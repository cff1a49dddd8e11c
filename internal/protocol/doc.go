// Package protocol holds the messages that controllers exchange with users, agents, the cloud and
// the key-value store, and the identifiers in them, in one file for each conversation. The
// spellings that these interfaces prescribe stand in the tags of fields, in the values of
// constants and in the decoder of submissions. Paths are in the clients and in internal/api.
package protocol

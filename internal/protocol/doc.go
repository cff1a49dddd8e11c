// Package protocol holds the messages that controllers exchange with users, agents, the cloud and
// the key-value store, and the identifiers in them, in one file for each conversation. The
// spellings that these interfaces prescribe stand in the tags of fields and in the values of
// constants; nothing else in the service uses them.
package protocol

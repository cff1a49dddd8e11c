// Package protocol holds the messages of PROTOCOL and their codec. The protocol's
// own field names occur only here.
package protocol

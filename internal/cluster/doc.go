// Package cluster keeps what is known of machines and what may be on them. Its
// one duty for the rules: a placement is released on proof only.
package cluster

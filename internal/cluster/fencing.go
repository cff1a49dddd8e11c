package cluster

import "marblehaven/internal/protocol"

// Fencing holds the fencing tokens that the leader and one agent exchange. An agent
// refuses every command with a lower token than the highest one it has received, so a
// higher token that the agent has acknowledged proves that no earlier command can still
// be executed, neither a late one nor a copy.
//
// IssuedToken and AcknowledgedToken never decrease.
type Fencing struct {
	// IssuedToken is the token of the commands and replies that go to the agent now.
	IssuedToken protocol.FencingToken
	// AcknowledgedToken is the highest token that a status of the agent carried.
	AcknowledgedToken protocol.FencingToken
	// RequiredToken is the token that the agent must have acknowledged before it is
	// given new work.
	RequiredToken protocol.FencingToken
	// CommandInFlight is true while a direct command is in flight. Each machine has at
	// most one in flight at a time.
	CommandInFlight bool
	// startTokens holds, for each attempt that is placed on the machine or listed in the
	// newest status, the token that the start of the attempt was sent with.
	startTokens map[attemptKey]protocol.FencingToken
}

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	TaskKey
	attempt uint64
}

// newFencing returns a Fencing that starts with the first token of the leader's term. The
// agent must acknowledge that token before it is given work: until then it may execute
// commands of an earlier leader.
func newFencing(firstToken protocol.FencingToken) Fencing {
	return Fencing{IssuedToken: firstToken, RequiredToken: firstToken, startTokens: map[attemptKey]protocol.FencingToken{}}
}

// acknowledge records the token that a status of the agent carries.
func (f *Fencing) acknowledge(token protocol.FencingToken) {
	f.AcknowledgedToken = max(f.AcknowledgedToken, token)
}

// issueNextToken issues a token that the agent has never been sent.
func (f *Fencing) issueNextToken() protocol.FencingToken {
	f.IssuedToken++
	return f.IssuedToken
}

// requireIssuedToken holds back new work from the agent until the agent has acknowledged
// the token that is issued now.
func (f *Fencing) requireIssuedToken() {
	f.RequiredToken = f.IssuedToken
}

// tokenRequirementMet reports whether no command is in flight and the agent refuses every
// earlier command whose outcome is unknown.
func (f *Fencing) tokenRequirementMet() bool {
	return !f.CommandInFlight && f.AcknowledgedToken >= f.RequiredToken
}

// refusesStart reports whether the agent refuses a start with the token, should the start
// arrive late or as a copy. The result is false while a command is in flight, because
// that command may carry any token.
func (f *Fencing) refusesStart(token protocol.FencingToken) bool {
	return !f.CommandInFlight && f.AcknowledgedToken > token
}

// recordStartToken records the issued token as the one that the start of an attempt is
// sent with.
func (f *Fencing) recordStartToken(key TaskKey, attempt uint64) {
	f.startTokens[attemptKey{key, attempt}] = f.IssuedToken
}

// MayRelease reports whether the agent may forget an exited attempt. It must not while a
// start of the attempt can still arrive, late or as a copy, because an agent that has
// forgotten the attempt would run it again. Starts by an earlier leader are not in
// startTokens; the agent refuses them once it has acknowledged the first token of the
// current term.
func (f *Fencing) MayRelease(key TaskKey, attempt uint64) bool {
	return f.AcknowledgedToken >= f.firstTokenOfTerm() && f.refusesStart(f.startTokens[attemptKey{key, attempt}])
}

// firstTokenOfTerm returns the first token of the current term.
func (f *Fencing) firstTokenOfTerm() protocol.FencingToken {
	return f.IssuedToken.Term().FirstToken()
}

// finishCommand records that the direct command in flight has ended. After a start, or
// after an unknown outcome, finishCommand issues a higher token: an agent that has
// acknowledged the new token refuses late copies of the command. After an unknown
// outcome, new work is held back until that acknowledgement.
func (f *Fencing) finishCommand(hadStarts, outcomeKnown bool) {
	f.CommandInFlight = false
	if hadStarts || !outcomeKnown {
		f.issueNextToken()
	}
	if !outcomeKnown {
		f.requireIssuedToken()
	}
}

// pruneStartTokens deletes the tokens of the attempts that no longer need one.
func (f *Fencing) pruneStartTokens(needed func(attemptKey) bool) {
	for start := range f.startTokens {
		if !needed(start) {
			delete(f.startTokens, start)
		}
	}
}

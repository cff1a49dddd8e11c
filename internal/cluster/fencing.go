package cluster

import "marblehaven/internal/protocol"

// Fencing keeps the fencing tokens that the leader and one agent exchange. An agent
// refuses every command with a lower token than the highest one it has seen, so a
// higher token that the agent has acknowledged proves that no earlier command can
// be executed any more, neither a late one nor a copy.
//
// IssuedToken never falls, and neither does AcknowledgedToken.
type Fencing struct {
	// IssuedToken is the token of the commands and replies that go to the agent now.
	IssuedToken protocol.FencingToken
	// AcknowledgedToken is the highest token that a status of the agent carried.
	AcknowledgedToken protocol.FencingToken
	// RequiredToken is the token that the agent must have acknowledged before it is
	// given new work.
	RequiredToken protocol.FencingToken
	// CommandInFlight tells that a direct command is under way. There is one at a
	// time to each machine.
	CommandInFlight bool
	// startTokens holds the token that the start of an attempt was sent with, for
	// the attempts that are placed here or listed in the newest status.
	startTokens map[attemptKey]protocol.FencingToken
}

// attemptKey names one attempt of a task.
type attemptKey struct {
	TaskKey
	attempt uint64
}

// newFencing begins with the first token of the leader's term, which the agent must
// acknowledge before it is given work: until then the commands of an earlier leader
// may be executed.
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

// requireIssuedToken gives the agent no new work before it has acknowledged the token
// that is issued now.
func (f *Fencing) requireIssuedToken() {
	f.RequiredToken = f.IssuedToken
}

// tokenRequirementMet tells whether no command is under way and every earlier one whose
// outcome is unknown is refused by now.
func (f *Fencing) tokenRequirementMet() bool {
	return !f.CommandInFlight && f.AcknowledgedToken >= f.RequiredToken
}

// refusesStart tells whether the agent refuses a start with the token, should it arrive
// late or as a copy. A command that is under way may carry any token.
func (f *Fencing) refusesStart(token protocol.FencingToken) bool {
	return !f.CommandInFlight && f.AcknowledgedToken > token
}

// recordStartToken keeps the issued token as the one that an attempt is started with.
func (f *Fencing) recordStartToken(key TaskKey, attempt uint64) {
	f.startTokens[attemptKey{key, attempt}] = f.IssuedToken
}

// MayRelease tells whether the agent may forget an exited attempt: not while a start of
// the attempt could still arrive, late or as a copy, since an agent that has forgotten
// the attempt would run it again. A start by an earlier leader is not in startTokens;
// the first token of the present term makes the agent refuse those.
func (f *Fencing) MayRelease(key TaskKey, attempt uint64) bool {
	return f.AcknowledgedToken >= f.firstTokenOfTerm() && f.refusesStart(f.startTokens[attemptKey{key, attempt}])
}

// firstTokenOfTerm is the first token of the present term.
func (f *Fencing) firstTokenOfTerm() protocol.FencingToken {
	return f.IssuedToken.Term().FirstToken()
}

// finishCommand records that the direct command under way has ended. After a start, or
// after an unknown outcome, a higher token is issued: once acknowledged, the agent
// refuses late copies of that command. An unknown outcome also holds back new work
// until then.
func (f *Fencing) finishCommand(hadStarts, outcomeKnown bool) {
	f.CommandInFlight = false
	if hadStarts || !outcomeKnown {
		f.issueNextToken()
	}
	if !outcomeKnown {
		f.requireIssuedToken()
	}
}

// pruneStartTokens forgets the tokens of the attempts that need none any more.
func (f *Fencing) pruneStartTokens(needed func(attemptKey) bool) {
	for start := range f.startTokens {
		if !needed(start) {
			delete(f.startTokens, start)
		}
	}
}

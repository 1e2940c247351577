// Package code defines the numbered result codes that callers and operators
// see.
package code

import (
	"fmt"
	"slices"
	"strings"
)

// Code is a numbered result of a request. Codes from 100 to 199 mean that the
// request was not run, codes from 200 that it may have run or did run, and codes
// from 300 that it was not accepted. docs/RESULTS.md lists all codes.
type Code int

// The result codes.
const (
	// Done is the result of a request whose answer is complete.
	Done Code = 0

	// NotRunOverload refuses a request that would miss its deadline in the queue.
	NotRunOverload Code = 100
	// NotRunDeadline ends a request whose deadline passed before it was sent.
	NotRunDeadline Code = 101
	// NotRunNoPrimary ends a request that needed the group's primary or owner, which
	// could not be reached in time.
	NotRunNoPrimary Code = 102
	// NotRunNoMajority ends a write that can't be run because a majority of the
	// group's members is unreachable.
	NotRunNoMajority Code = 103
	// NotRunLimit refuses a request that would exceed a limit of its caller, service
	// or host.
	NotRunLimit Code = 104
	// NotRunStopping refuses a request at a host that is stopping.
	NotRunStopping Code = 105
	// NotRunSettled ends a request whose idempotency key was withdrawn before it ran.
	NotRunSettled Code = 106
	// NotRunMoved ends a request at a host that does not, or no longer, own the group.
	NotRunMoved Code = 107
	// NotRunCanceled ends a waiting request that its caller canceled.
	NotRunCanceled Code = 108
	// NotRunNoFresh ends a read for which no member was fresh enough in time.
	NotRunNoFresh Code = 109
	// NotRunBusy ends a request that a target refused because its slots and queue were full.
	NotRunBusy Code = 110
	// NotRunWrongTarget ends a request that reached a target other than the intended one.
	NotRunWrongTarget Code = 111
	// NotRunUnprepared ends the execution of a prepared statement that the session
	// or the target doesn't know.
	NotRunUnprepared Code = 112
	// NotRunOldPlan refuses a caller whose database has no route in a configuration that
	// may be too old to tell.
	NotRunOldPlan Code = 113

	// OutcomeUnknown ends a request that was sent and whose result is not known.
	OutcomeUnknown Code = 200
	// RanAnswerLost ends a request that ran once and whose answer was lost.
	RanAnswerLost Code = 201
	// AlreadyRan refuses a request whose idempotency key was used by a request
	// that ran before.
	AlreadyRan Code = 202
	// TransactionLost ends a request of a transaction that was rolled back, for
	// example because its connection, its primary or its owner was lost.
	TransactionLost Code = 203
	// TargetFailed ends a request that failed while the target ran it.
	TargetFailed Code = 204
	// DeadlinePassed ends a request that was sent and not answered before its deadline.
	DeadlinePassed Code = 205

	// BadMessage refuses a malformed or unexpected message.
	BadMessage Code = 300
	// MessageTooLarge closes a connection that sent a message longer than the limit.
	MessageTooLarge Code = 301
	// BadPassword refuses a caller whose user name or password is wrong.
	BadPassword Code = 302
	// BadToken refuses a session token that is forged, signed with an unknown key, or
	// issued to another user or for another database.
	BadToken Code = 303
	// UnknownDatabase refuses a caller or a request whose database is not configured.
	UnknownDatabase Code = 304
	// NotSupported refuses a feature that doesn't work with pooled connections.
	NotSupported Code = 305
	// SlowCaller closes the connection of a caller that does not read its answer.
	SlowCaller Code = 306
	// TooManyCallers refuses a connection that would exceed the limit of connections
	// to a host or target.
	TooManyCallers Code = 307
	// UnknownKey refuses a caller or a request whose key belongs to no customer.
	UnknownKey Code = 308
)

// description describes one code.
type description struct {
	name     string
	sqlState string
	meaning  string
	advice   string
}

// The SQLSTATE values of the codes, named after their conditions in appendix A of
// the PostgreSQL documentation.
const (
	stateSuccess               = "00000"
	stateInsufficientResources = "53000"
	stateQueryCanceled         = "57014"
	stateCannotConnectNow      = "57P03"
	stateAdminShutdown         = "57P01"
	stateConfigLimitExceeded   = "53400"
	stateResolutionUnknown     = "08007"
	stateUniqueViolation       = "23505"
	stateTransactionRollback   = "40000"
	stateProtocolViolation     = "08P01"
	stateInvalidPassword       = "28P01"
	stateInvalidAuthorization  = "28000"
	stateInvalidCatalogName    = "3D000"
	stateNotSupported          = "0A000"
	stateTooManyConnections    = "53300"
)

var descriptions = map[Code]description{
	Done:              {"Done", stateSuccess, "the target answered", "nothing"},
	NotRunOverload:    {"NotRunOverload", stateInsufficientResources, "not run: the queue is too long for the deadline", "retry after the hint"},
	NotRunDeadline:    {"NotRunDeadline", stateQueryCanceled, "not run: the deadline passed while the request waited", "retry"},
	NotRunNoPrimary:   {"NotRunNoPrimary", stateCannotConnectNow, "not run: no primary could be reached before the deadline", "retry"},
	NotRunNoMajority:  {"NotRunNoMajority", stateCannotConnectNow, "not run: a majority of the group's members is unreachable", "retry later"},
	NotRunLimit:       {"NotRunLimit", stateConfigLimitExceeded, "not run: over the limit of the caller, service or host", "retry after the hint"},
	NotRunStopping:    {"NotRunStopping", stateAdminShutdown, "not run: the host is stopping", "connect again and retry"},
	NotRunSettled:     {"NotRunSettled", stateInsufficientResources, "not run: the answer was lost, and the idempotency key was withdrawn before the request ran", "retry with a new key"},
	NotRunMoved:       {"NotRunMoved", stateInsufficientResources, "not run: the group moved to another host while the request waited", "retry"},
	NotRunCanceled:    {"NotRunCanceled", stateQueryCanceled, "not run: canceled by the caller while it waited", "nothing"},
	NotRunNoFresh:     {"NotRunNoFresh", stateCannotConnectNow, "not run: no member held data as fresh as the read asks for before the deadline", "retry"},
	OutcomeUnknown:    {"OutcomeUnknown", stateResolutionUnknown, "sent, and its result is not known: it may have run", "check before a retry"},
	RanAnswerLost:     {"RanAnswerLost", stateResolutionUnknown, "ran exactly once; its answer was lost", "do not retry; read what it wrote"},
	AlreadyRan:        {"AlreadyRan", stateUniqueViolation, "a request with this idempotency key ran before", "do not retry"},
	NotRunBusy:        {"NotRunBusy", stateInsufficientResources, "not run: the target's slots and queue are full", "retry after the hint"},
	NotRunWrongTarget: {"NotRunWrongTarget", stateCannotConnectNow, "not run: another target answers at the address", "retry"},
	NotRunUnprepared:  {"NotRunUnprepared", stateCannotConnectNow, "not run: the target does not know the prepared statement", "prepare it again"},
	NotRunOldPlan:     {"NotRunOldPlan", stateCannotConnectNow, "not run: the host's configuration has no such database, but is old and could not be read again", "retry, also at another host"},
	TargetFailed:      {"TargetFailed", stateResolutionUnknown, "the target ran the request and failed", "retry what only reads"},
	DeadlinePassed:    {"DeadlinePassed", stateQueryCanceled, "sent, and not answered before the deadline", "check before a retry"},
	TransactionLost:   {"TransactionLost", stateTransactionRollback, "the open transaction was rolled back with its connection; nothing of it remains", "run the transaction again"},
	BadMessage:        {"BadMessage", stateProtocolViolation, "malformed or unexpected message", "mend the client"},
	MessageTooLarge:   {"MessageTooLarge", stateProtocolViolation, "message over the size limit", "send less at once"},
	BadPassword:       {"BadPassword", stateInvalidPassword, "wrong name or password", "check the credentials"},
	BadToken:          {"BadToken", stateInvalidAuthorization, "session token forged, of another session's user, or of an unknown key", "connect without a token"},
	UnknownDatabase:   {"UnknownDatabase", stateInvalidCatalogName, "no such database group", "check the name"},
	NotSupported:      {"NotSupported", stateNotSupported, "this feature cannot be pooled", "see docs/OPERATIONS.md"},
	SlowCaller:        {"SlowCaller", stateTooManyConnections, "the caller does not read its answer", "read answers as they come"},
	UnknownKey:        {"UnknownKey", stateInvalidAuthorization, "the key belongs to no customer", "check the key"},
	TooManyCallers:    {"TooManyCallers", stateTooManyConnections, "over the host's limit of callers", "connect later or elsewhere"},
}

// All returns all codes in no particular order.
func All() []Code {
	codes := make([]Code, 0, len(descriptions))
	for c := range descriptions {
		codes = append(codes, c)
	}
	return codes
}

// Name returns the code's name. For an unknown code it returns "Code" followed
// by the number.
func (c Code) Name() string {
	if e, ok := descriptions[c]; ok {
		return e.name
	}
	return fmt.Sprintf("Code%d", int(c))
}

// SQLState returns the five-character SQLSTATE that is sent to callers. It is
// XX000 (internal error) for an unknown code.
func (c Code) SQLState() string {
	if e, ok := descriptions[c]; ok {
		return e.sqlState
	}
	return "XX000"
}

// Meaning describes what happened to the request. It is empty for an unknown
// code.
func (c Code) Meaning() string {
	return descriptions[c].meaning
}

// Advice describes what the caller may do. It is empty for an unknown code.
func (c Code) Advice() string {
	return descriptions[c].advice
}

// NotRun reports whether the code guarantees that the request did not run.
func (c Code) NotRun() bool {
	return c >= 100 && c < 200
}

// Error returns the name, the number and the meaning, so that a Code can be
// used as an error.
func (c Code) Error() string {
	return fmt.Sprintf("%s (%d): %s", c.Name(), int(c), c.Meaning())
}

// Markdown returns the text of docs/RESULTS.md, a table of all codes in the
// order of their numbers.
func Markdown() string {
	codes := All()
	slices.Sort(codes)
	var b strings.Builder
	b.WriteString("# Result codes\n\nEvery error of pistachiotray itself carries a numbered result in its detail,\n" +
		"`Result NAME NUMBER: …`, beside the SQLSTATE. Codes from 100 promise that the\nrequest was not run, codes from 200 say that it may have run or did run, codes\n" +
		"from 300 that it was not accepted as it stands. Errors of the target itself are\npassed on as they are. `pistachiotray pages docs` writes this page.\n\n" +
		"| number | name | SQLSTATE | meaning | what the caller may do |\n| --- | --- | --- | --- | --- |\n")
	for _, c := range codes {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", int(c), c.Name(), c.SQLState(), c.Meaning(), c.Advice())
	}
	return b.String()
}

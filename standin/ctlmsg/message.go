// Package ctlmsg defines the message that the member processes of the soak exchange with
// each other and with the ledger.
package ctlmsg

// The kinds of requests. A member sends Append and Ack only as the leader. Ship is the
// only request between members.
const (
	// Start asks for the member's log.
	Start = "start"
	// State asks for the member's state only.
	State = "state"
	// Append adds an entry to the leader's log.
	Append = "append"
	// Receive adds entries to a replica's log.
	Receive = "receive"
	// Ack asks for the permission to acknowledge a commit.
	Ack = "ack"
	// Demote makes the leader a replica.
	Demote = "demote"
	// Ship sends entries to a replica.
	Ship = "ship"
)

// Message is a request or a reply.
type Message struct {
	Kind          string
	Group, Member string
	// Started tells the processes of a member apart.
	Started int64
	Term    uint64
	// From is the index of the first of the Entries in the log.
	From int
	// Entries are log entries. An entry begins with its log position and the ID of the
	// statement that committed it, followed by a line for each write with its item and
	// value.
	Entries []string
	// Caller is the host that is told about the commit.
	Caller string

	// OK means that the request was carried out. The fields below and Term describe the
	// member's state after it.
	OK    bool
	Leads bool
	// Demoted means that the member led until it was demoted, and that no other was promoted
	// since.
	Demoted bool
	Length  int
}

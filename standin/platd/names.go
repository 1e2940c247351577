package platd

import (
	"maps"
	"slices"

	"github.com/pistachiotray/pistachiotray/request/stmt"
)

// recordConnection counts a connection to a member under the name in its START message.
func (s *Server) recordConnection(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[name]++
}

// recordStatement records the name of the connection on which a caller's statement
// arrived at a member. Statements of hosts themselves are not recorded.
func (s *Server) recordStatement(id, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != stmt.ProxyID && !slices.Contains(s.statementNames[id], name) {
		s.statementNames[id] = append(s.statementNames[id], name)
	}
}

// Connections returns how many connections to members were opened by name in the START
// message, which is that of a customer or a host.
func (s *Server) Connections() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.connections)
}

// StatementNames returns, by the ID of each caller's statement that arrived at a member, the
// names of the connections on which it arrived. It is recorded before the statement runs.
func (s *Server) StatementNames() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.statementNames)
}

package platd

import (
	"context"
	"encoding/json"
	"net/http"
	"reflect"
	"time"
)

// registration is the registration of a member process.
type registration struct {
	// fields holds the fields but Sequence, which changes each time.
	fields map[string]any
	at     time.Time
}

// promotion carries out an order for a group. It returns false for answered if the order
// gets no answer.
type promotion func(group, id, holder string, token uint64) (answered bool, err error)

// ServeProcesses lets member processes register themselves, until the context ends. Their
// registrations lapse after the given time of silence. The function promote carries out
// orders for their groups.
func (s *Server) ServeProcesses(ctx context.Context, silence time.Duration, promote func(group, id, holder string, token uint64) (answered bool, err error)) {
	s.mu.Lock()
	s.promotion = promote
	s.mu.Unlock()
	go func() {
		for ctx.Err() == nil {
			s.lapse(silence)
			time.Sleep(registerInterval)
		}
	}()
}

// lapse deletes the registrations that were not renewed for the given time.
func (s *Server) lapse(silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.registered {
		if time.Since(r.at) >= silence {
			delete(s.registered, id)
			s.applyChange(row{Table: "servers", Key: id, Tombstone: true})
		}
	}
}

// registerProcess stores the registration of a member process, or deletes it if the process
// leaves. The row changes only if more than Sequence does.
func (s *Server) registerProcess(w http.ResponseWriter, r *http.Request) {
	var fields map[string]any
	if err := json.NewDecoder(r.Body).Decode(&fields); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, _ := fields["Id"].(string)
	delete(fields, "Id")
	encoded, _ := json.Marshal(fields)
	s.mu.Lock()
	defer s.mu.Unlock()
	before, known := s.registered[id]
	if fields["Leave"] == true {
		delete(s.registered, id)
		s.applyChange(row{Table: "servers", Key: id, Tombstone: true})
		return
	}
	delete(fields, "Sequence")
	s.registered[id] = registration{fields, time.Now()}
	if !known || !reflect.DeepEqual(before.fields, fields) {
		s.applyChange(row{Table: "servers", Key: id, Value: encoded})
	}
}

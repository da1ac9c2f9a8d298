package httpapi

import (
	"net"
	"net/http"
	"strconv"
	"strings"

	"aspenstall/internal/nomad/registry"
	"aspenstall/internal/nomad/translate"
	"aspenstall/internal/peer"
)

// nodes lists the machines. They are everybody's, and say nothing of what runs
// on them. Nothing of them is recorded at an index: who waits here waits for a
// change to the team's jobs, or for the time that was asked for.
func nodes(q *request) (any, error) {
	list, err := q.machines()
	if err != nil {
		return nil, err
	}
	p, err := q.page()
	if err != nil {
		return nil, err
	}
	out := []nodeView{}
	for _, n := range list {
		if strings.HasPrefix(n.ID, q.q.Get("prefix")) {
			out = append(out, n)
		}
	}
	return cut(q, out, p, func(n nodeView) string { return n.Name }), nil
}

func (q *request) machines() ([]nodeView, error) {
	if err := q.look(registry.Name{Team: q.team}, false, func(*registry.Registry) {}); err != nil {
		return nil, err
	}
	s, err := q.b.ShowAll(q.r.Context(), &peer.ViewRequest{Machines: true})
	if err != nil {
		return nil, err
	}
	var out []nodeView
	for _, m := range s.Machines {
		out = append(out, nodeOf(m))
	}
	return out, nil
}

func node(q *request) (any, error) {
	list, err := q.machines()
	if err != nil {
		return nil, err
	}
	for _, n := range list {
		if n.ID == q.id {
			return n, nil
		}
	}
	return nil, fail(http.StatusNotFound, "node not found")
}

type namespaceView struct {
	Name, Description        string
	CreateIndex, ModifyIndex uint64
}

func (q *request) namespace() namespaceView {
	return namespaceView{Name: q.team, Description: "the team's jobs; " + translate.DefaultNamespace + " is another name for it"}
}

// namespaces lists the caller's team and no other.
func namespaces(q *request) (any, error) {
	err := q.look(registry.Name{Team: q.team}, false, func(*registry.Registry) {})
	return []namespaceView{q.namespace()}, err
}

func namespace(q *request) (any, error) {
	if q.id != q.team && q.id != translate.DefaultNamespace {
		return nil, fail(http.StatusNotFound, "Namespace not found")
	}
	return q.namespace(), nil
}

func leader(q *request) (any, error) { return q.b.Members(q.r.Context()).Leader, nil }

func peers(q *request) (any, error) { return q.b.Members(q.r.Context()).All, nil }

type healthView struct {
	OK      bool   `json:"ok"`
	Message string `json:"message"`
}

func health(q *request) (any, error) {
	if q.q.Get("type") == "client" {
		return nil, fail(http.StatusInternalServerError, `{"client":{"ok":false,"message":"client not enabled"}}`)
	}
	if !q.b.Healthy() {
		q.write(http.StatusInternalServerError, map[string]healthView{"server": {false, "requests cannot be served now"}})
		return nil, nil
	}
	return map[string]healthView{"server": {true, "ok"}}, nil
}

func agentSelf(q *request) (any, error) {
	m := q.b.Members(q.r.Context())
	host, port, _ := net.SplitHostPort(m.All[0])
	n, _ := strconv.Atoi(port)
	return map[string]any{
		"member": map[string]any{
			"Name": m.Self, "Addr": host, "Port": n, "Status": "alive",
			"Tags": map[string]string{"role": "aspenstall", "region": "global", "dc": m.Zone},
		},
		"config": map[string]any{"Region": "global", "Datacenter": m.Zone, "ACL": map[string]bool{"Enabled": true}},
		"stats":  map[string]any{"nomad": map[string]string{"server": "true", "leader": strconv.FormatBool(m.Leader == m.All[0])}},
	}, nil
}

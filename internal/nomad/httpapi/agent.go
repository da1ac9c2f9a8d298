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

// listNodes lists the machines. All teams share them, and the list does not show what runs on them.
// Machines have no index: a blocking query of them returns when the team's jobs change or when its
// wait time is over.
func listNodes(q *request) (any, error) {
	list, err := q.fetchNodes()
	if err != nil {
		return nil, err
	}
	p, err := q.parsePage()
	if err != nil {
		return nil, err
	}
	out := []nodeView{}
	for _, n := range list {
		if strings.HasPrefix(n.ID, q.params.Get("prefix")) {
			out = append(out, n)
		}
	}
	return paginate(q, out, p, func(n nodeView) string { return n.Name }), nil
}

// fetchNodes returns views of all machines, as the leader reports them.
func (q *request) fetchNodes() ([]nodeView, error) {
	if err := q.readRegistry(registry.Name{Team: q.team}, false, func(*registry.Registry) {}); err != nil {
		return nil, err
	}
	s, err := q.backend.QueryLeader(q.r.Context(), &peer.ViewRequest{Machines: true})
	if err != nil {
		return nil, err
	}
	var out []nodeView
	for _, m := range s.Machines {
		out = append(out, newNodeView(m))
	}
	return out, nil
}

func getNode(q *request) (any, error) {
	list, err := q.fetchNodes()
	if err != nil {
		return nil, err
	}
	for _, n := range list {
		if n.ID == q.id {
			return n, nil
		}
	}
	return nil, statusErrorf(http.StatusNotFound, "node not found")
}

type namespaceView struct {
	Name, Description        string
	CreateIndex, ModifyIndex uint64
}

// teamNamespace returns the namespace of the caller's team.
func (q *request) teamNamespace() namespaceView {
	return namespaceView{Name: q.team, Description: "the team's jobs; " + translate.DefaultNamespace + " is an alias"}
}

// listNamespaces lists the namespace of the caller's team only.
func listNamespaces(q *request) (any, error) {
	err := q.readRegistry(registry.Name{Team: q.team}, false, func(*registry.Registry) {})
	return []namespaceView{q.teamNamespace()}, err
}

func getNamespace(q *request) (any, error) {
	if q.id != q.team && q.id != translate.DefaultNamespace {
		return nil, statusErrorf(http.StatusNotFound, "Namespace not found")
	}
	return q.teamNamespace(), nil
}

func getLeader(q *request) (any, error) { return q.backend.Members(q.r.Context()).Leader, nil }

func listPeers(q *request) (any, error) { return q.backend.Members(q.r.Context()).Addresses, nil }

type healthView struct {
	OK      bool   `json:"ok"`
	Message string `json:"message"`
}

func getHealth(q *request) (any, error) {
	if q.params.Get("type") == "client" {
		return nil, statusErrorf(http.StatusInternalServerError, `{"client":{"ok":false,"message":"client not enabled"}}`)
	}
	if !q.backend.Healthy() {
		q.writeJSON(http.StatusInternalServerError, map[string]healthView{"server": {false, "requests cannot be served now"}})
		return nil, nil
	}
	return map[string]healthView{"server": {true, "ok"}}, nil
}

func getAgentSelf(q *request) (any, error) {
	m := q.backend.Members(q.r.Context())
	host, port, _ := net.SplitHostPort(m.Addresses[0])
	n, _ := strconv.Atoi(port)
	return map[string]any{
		"member": map[string]any{
			"Name": m.Self, "Addr": host, "Port": n, "Status": "alive",
			"Tags": map[string]string{"role": "aspenstall", "region": "global", "dc": m.Zone},
		},
		"config": map[string]any{"Region": "global", "Datacenter": m.Zone, "ACL": map[string]bool{"Enabled": true}},
		"stats":  map[string]any{"nomad": map[string]string{"server": "true", "leader": strconv.FormatBool(m.Leader == m.Addresses[0])}},
	}, nil
}

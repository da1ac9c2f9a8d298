package httpapi

import (
	"net/http"
	"net/url"
	"strings"
)

// fixed are the paths without a name in them.
var fixed = map[string]route{
	"/v1/jobs":          {handle: jobs, methods: "GET POST PUT"},
	"/v1/jobs/parse":    {handle: parseJob, methods: "POST PUT"},
	"/v1/validate/job":  {handle: validateJob, methods: "POST PUT"},
	"/v1/allocations":   {handle: allocations, methods: "GET"},
	"/v1/evaluations":   {handle: evaluations, methods: "GET"},
	"/v1/deployments":   {handle: none, methods: "GET"},
	"/v1/nodes":         {handle: nodes, methods: "GET"},
	"/v1/namespaces":    {handle: namespaces, methods: "GET"},
	"/v1/regions":       {handle: func(*request) (any, error) { return []string{"global"}, nil }, methods: "GET", open: true},
	"/v1/status/leader": {handle: leader, methods: "GET", open: true},
	"/v1/status/peers":  {handle: peers, methods: "GET", open: true},
	"/v1/agent/health":  {handle: health, methods: "GET", open: true},
	"/v1/agent/self":    {handle: agentSelf, methods: "GET"},
	"/v1/event/stream":  {handle: eventStream, methods: "GET"},
}

// named are the paths that end in a name.
var named = map[string]route{
	"/v1/allocation/":      {handle: allocation, methods: "GET"},
	"/v1/evaluation/":      {handle: evaluation, methods: "GET"},
	"/v1/node/":            {handle: node, methods: "GET"},
	"/v1/namespace/":       {handle: namespace, methods: "GET"},
	"/v1/aspenstall/task/": {handle: description, methods: "GET", open: true}, // with a machine's token
}

// ofJob are the ends of paths below /v1/job/NAME/.
var ofJob = map[string]route{
	"":            {handle: job, methods: "GET POST PUT DELETE"},
	"plan":        {handle: plan, methods: "POST PUT"},
	"summary":     {handle: summary, methods: "GET"},
	"versions":    {handle: versions, methods: "GET"},
	"allocations": {handle: jobAllocations, methods: "GET"},
	"evaluations": {handle: jobEvaluations, methods: "GET"},
	"deployments": {handle: none, methods: "GET"},
	"deployment":  {handle: func(*request) (any, error) { return struct{}{}, nil }, methods: "GET"},
	"dispatch":    unserved("dispatch: jobs are not dispatched; register one for each run"),
	"evaluate":    unserved("evaluate: placing goes on by itself"),
	"revert":      unserved("revert: register the old version's job again"),
	"stable":      unserved("stable: versions are not rolled out step by step"),
	"scale":       unserved("scale: register the job with another count"),
	"submission":  unserved("submission: a job is kept as JSON, without its file"),
	"services":    unserved("services: they are not announced"),
	"actions":     unserved("actions are not served"),
	"action":      unserved("actions are not served"),
}

func unserved(why string) route {
	return route{methods: "GET POST PUT DELETE", handle: func(*request) (any, error) { return nil, fail(http.StatusNotImplemented, "%s", why) }}
}

// families are parts of the interface that are not served at all.
var families = map[string]string{
	"acl": "tokens are the operators' settings", "client": "machines are not asked by this way", "operator": "operators have their own settings",
	"search": "list with a prefix instead", "volumes": "machines keep nothing", "volume": "machines keep nothing", "plugins": "machines keep nothing",
	"services": "services are not announced", "service": "services are not announced", "scaling": "the number of tasks is the job's",
	"system": "finished jobs are purged one by one", "vars": "there is no store of variables", "var": "there is no store of variables",
	"sentinel": "there are no policies", "quota": "quotas are the operators' settings", "quotas": "quotas are the operators' settings",
	"deployment": "versions are not rolled out step by step", "recommendation": "not served", "node_pools": "there is one pool",
	"node": "machines are rented and returned by the scheduler", "agent": "one asks /v1/agent/self and /v1/agent/health",
}

// find finds a path's route and the name in it. Names may hold anything,
// slashes too: those are escaped, and where a client does not, the path's end
// decides.
func find(path string) (route, string, error) {
	if r, ok := fixed[path]; ok {
		return r, "", nil
	}
	if rest, ok := strings.CutPrefix(path, "/v1/job/"); ok && rest != "" {
		end := ""
		if i := strings.LastIndexByte(rest, '/'); i > 0 {
			if _, known := ofJob[rest[i+1:]]; known && rest[i+1:] != "" {
				rest, end = rest[:i], rest[i+1:]
			}
		}
		if r, ok := strings.CutSuffix(rest, "/periodic/force"); ok {
			rest, end = r, "dispatch"
		}
		return withName(ofJob[end], rest)
	}
	for prefix, r := range named {
		rest, ok := strings.CutPrefix(path, prefix)
		if !ok || rest == "" {
			continue
		}
		if prefix == "/v1/evaluation/" {
			if id, ok := strings.CutSuffix(rest, "/allocations"); ok {
				return withName(route{handle: evaluationAllocations, methods: "GET"}, id)
			}
		}
		if !strings.Contains(rest, "/") {
			return withName(r, rest)
		}
	}
	if rest, ok := strings.CutPrefix(path, "/v1/"); ok {
		family, _, _ := strings.Cut(rest, "/")
		if why, ok := families[family]; ok {
			return route{}, "", fail(http.StatusNotImplemented, "%s is not served: %s", path, why)
		}
	}
	return route{}, "", fail(http.StatusNotFound, "there is nothing at %s", path)
}

func withName(r route, escaped string) (route, string, error) {
	id, err := url.PathUnescape(escaped)
	if err != nil {
		return route{}, "", fail(http.StatusBadRequest, "the path is not escaped as it should be")
	}
	return r, id, nil
}

// none answers a list of what there never is.
func none(*request) (any, error) { return []struct{}{}, nil }

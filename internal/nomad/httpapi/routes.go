package httpapi

import (
	"net/http"
	"net/url"
	"strings"
)

// exactRoutes holds the routes whose path contains no name.
var exactRoutes = map[string]route{
	"/v1/jobs":          {handle: handleJobs, methods: "GET POST PUT"},
	"/v1/jobs/parse":    {handle: parseJob, methods: "POST PUT"},
	"/v1/validate/job":  {handle: validateJob, methods: "POST PUT"},
	"/v1/allocations":   {handle: listAllocations, methods: "GET"},
	"/v1/evaluations":   {handle: listEvaluations, methods: "GET"},
	"/v1/deployments":   {handle: emptyList, methods: "GET"},
	"/v1/nodes":         {handle: listNodes, methods: "GET"},
	"/v1/namespaces":    {handle: listNamespaces, methods: "GET"},
	"/v1/regions":       {handle: func(*request) (any, error) { return []string{"global"}, nil }, methods: "GET", public: true},
	"/v1/status/leader": {handle: getLeader, methods: "GET", public: true},
	"/v1/status/peers":  {handle: listPeers, methods: "GET", public: true},
	"/v1/agent/health":  {handle: getHealth, methods: "GET", public: true},
	"/v1/agent/self":    {handle: getAgentSelf, methods: "GET"},
	"/v1/event/stream":  {handle: streamEvents, methods: "GET"},
}

// prefixRoutes holds the routes whose path is a prefix and a name.
var prefixRoutes = map[string]route{
	"/v1/allocation/":      {handle: getAllocation, methods: "GET"},
	"/v1/evaluation/":      {handle: getEvaluation, methods: "GET"},
	"/v1/node/":            {handle: getNode, methods: "GET"},
	"/v1/namespace/":       {handle: getNamespace, methods: "GET"},
	"/v1/aspenstall/task/": {handle: getTaskDescription, methods: "GET", public: true}, // checks for a machine's token
}

// jobRoutes holds the routes below /v1/job/NAME/, by the last part of the path.
var jobRoutes = map[string]route{
	"":            {handle: handleJob, methods: "GET POST PUT DELETE"},
	"plan":        {handle: planJob, methods: "POST PUT"},
	"summary":     {handle: getJobSummary, methods: "GET"},
	"versions":    {handle: listJobVersions, methods: "GET"},
	"allocations": {handle: listJobAllocations, methods: "GET"},
	"evaluations": {handle: listJobEvaluations, methods: "GET"},
	"deployments": {handle: emptyList, methods: "GET"},
	"deployment":  {handle: func(*request) (any, error) { return struct{}{}, nil }, methods: "GET"},
	"dispatch":    notImplemented("dispatch: jobs are not dispatched; register one for each run"),
	"evaluate":    notImplemented("evaluate: jobs are evaluated continuously"),
	"revert":      notImplemented("revert: register the old version's job again"),
	"stable":      notImplemented("stable: versions are not rolled out step by step"),
	"scale":       notImplemented("scale: register the job with another count"),
	"submission":  notImplemented("submission: a job is kept as JSON, without its file"),
	"services":    notImplemented("services: they are not announced"),
	"actions":     notImplemented("actions are not served"),
	"action":      notImplemented("actions are not served"),
}

// notImplemented returns a route that answers with status 501 and the reason.
func notImplemented(why string) route {
	return route{methods: "GET POST PUT DELETE", handle: func(*request) (any, error) { return nil, statusErrorf(http.StatusNotImplemented, "%s", why) }}
}

// unsupportedPrefixes holds the parts of the API that are not served at all, by the path's first part,
// and the reason.
var unsupportedPrefixes = map[string]string{
	"acl": "tokens are the operators' settings", "client": "machines cannot be queried through this API", "operator": "operators have their own settings",
	"search": "list with a prefix instead", "volumes": "machines keep nothing", "volume": "machines keep nothing", "plugins": "machines keep nothing",
	"services": "services are not announced", "service": "services are not announced", "scaling": "the number of tasks is the job's",
	"system": "finished jobs are purged one by one", "vars": "there is no store of variables", "var": "there is no store of variables",
	"sentinel": "there are no policies", "quota": "quotas are the operators' settings", "quotas": "quotas are the operators' settings",
	"deployment": "versions are not rolled out step by step", "recommendation": "not served", "node_pools": "there is one pool",
	"node": "machines are rented and returned by the scheduler", "agent": "only /v1/agent/self and /v1/agent/health are served",
}

// findRoute returns a path's route and the name in the path. Names may hold any character. A slash
// in a name should be escaped. If a client does not escape it, the last part of the path belongs to
// the name unless it is a key of jobRoutes.
func findRoute(path string) (route, string, error) {
	if r, ok := exactRoutes[path]; ok {
		return r, "", nil
	}
	if rest, ok := strings.CutPrefix(path, "/v1/job/"); ok && rest != "" {
		end := ""
		if i := strings.LastIndexByte(rest, '/'); i > 0 {
			if _, known := jobRoutes[rest[i+1:]]; known && rest[i+1:] != "" {
				rest, end = rest[:i], rest[i+1:]
			}
		}
		if r, ok := strings.CutSuffix(rest, "/periodic/force"); ok {
			rest, end = r, "dispatch"
		}
		return unescapeName(jobRoutes[end], rest)
	}
	for prefix, r := range prefixRoutes {
		rest, ok := strings.CutPrefix(path, prefix)
		if !ok || rest == "" {
			continue
		}
		if prefix == "/v1/evaluation/" {
			if id, ok := strings.CutSuffix(rest, "/allocations"); ok {
				return unescapeName(route{handle: listEvaluationAllocations, methods: "GET"}, id)
			}
		}
		if !strings.Contains(rest, "/") {
			return unescapeName(r, rest)
		}
	}
	if rest, ok := strings.CutPrefix(path, "/v1/"); ok {
		family, _, _ := strings.Cut(rest, "/")
		if why, ok := unsupportedPrefixes[family]; ok {
			return route{}, "", statusErrorf(http.StatusNotImplemented, "%s is not served: %s", path, why)
		}
	}
	return route{}, "", statusErrorf(http.StatusNotFound, "there is nothing at %s", path)
}

// unescapeName returns r and the unescaped name, or an error with status 400.
func unescapeName(r route, escaped string) (route, string, error) {
	id, err := url.PathUnescape(escaped)
	if err != nil {
		return route{}, "", statusErrorf(http.StatusBadRequest, "the path is not escaped correctly")
	}
	return r, id, nil
}

// emptyList answers requests for lists that are always empty.
func emptyList(*request) (any, error) { return []struct{}{}, nil }

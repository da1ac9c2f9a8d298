package jobfile

// itemKind is the type of an item of a job file.
type itemKind uint8

const (
	kindString      itemKind = iota
	kindInt                  // an integer from min to max
	kindBool                 // true or false
	kindDuration             // a duration: "30s", or nanoseconds in the JSON form
	kindStringList           // a list of strings
	kindStringMap            // strings by name; a block or an attribute
	kindAnyMap               // values of any type by name; a block or an attribute
	kindBlock                // a block
	kindBlockList            // repeated blocks; a list in the JSON form
	kindOpaque               // only its name is known; its content is not read
	kindServerField          // only in the JSON form; written by servers and not read
)

// item is an attribute or block of a body.
type item struct {
	hclName  string // name in HCL; "" if only the JSON form has the item
	jsonName string // name in the JSON form
	kind     itemKind
	min, max int64
	allowed  []string // the allowed strings; empty for any
	body     *body    // content of a block
}

// name returns the item's name in HCL, or in the JSON form if HCL has none.
func (i *item) name() string {
	if i.hclName == "" {
		return i.jsonName
	}
	return i.hclName
}

// body describes the content of a block.
type body struct {
	items      []item
	labelField string                           // JSON name of the field that holds the block's label; "" if the block has none
	normalize  func(*hclDecoder, *blockContent) // converts shorthands that HCL has and the JSON form has not; may be nil
}

func (b *body) itemByHCLName(name string) *item {
	for i := range b.items {
		if b.items[i].hclName == name {
			return &b.items[i]
		}
	}
	return nil
}

const (
	maxCount  = 1 << 31
	maxWeight = 100
)

func attribute(hclName, jsonName string, k itemKind) item {
	return item{hclName: hclName, jsonName: jsonName, kind: k}
}

func integer(hclName, jsonName string, min, max int64) item {
	return item{hclName: hclName, jsonName: jsonName, kind: kindInt, min: min, max: max}
}

func enum(hclName, jsonName string, allowed ...string) item {
	return item{hclName: hclName, jsonName: jsonName, kind: kindString, allowed: allowed}
}

func block(hclName, jsonName string, b *body) item {
	return item{hclName: hclName, jsonName: jsonName, kind: kindBlock, body: b}
}

func blockList(hclName, jsonName string, b *body) item {
	return item{hclName: hclName, jsonName: jsonName, kind: kindBlockList, body: b}
}

// opaqueItems returns items whose content is not read, from pairs of HCL and JSON names.
func opaqueItems(names ...[2]string) []item {
	var out []item
	for _, n := range names {
		out = append(out, item{hclName: n[0], jsonName: n[1], kind: kindOpaque})
	}
	return out
}

// serverFields returns fields that servers write and clients send back.
func serverFields(fields ...string) []item {
	var out []item
	for _, f := range fields {
		out = append(out, item{jsonName: f, kind: kindServerField})
	}
	return out
}

func appendItems(items []item, more ...[]item) []item {
	for _, m := range more {
		items = append(items, m...)
	}
	return items
}

var constraintBody = &body{normalize: normalizeConstraint, items: []item{
	attribute("attribute", "LTarget", kindString), attribute("operator", "Operand", kindString), attribute("value", "RTarget", kindString),
}}

var affinityBody = &body{normalize: normalizeConstraint, items: []item{
	attribute("attribute", "LTarget", kindString), attribute("operator", "Operand", kindString), attribute("value", "RTarget", kindString),
	integer("weight", "Weight", -maxWeight, maxWeight),
}}

var spreadBody = &body{items: []item{
	attribute("attribute", "Attribute", kindString), integer("weight", "Weight", 0, maxWeight),
	blockList("target", "SpreadTarget", &body{labelField: "Value", items: []item{
		{jsonName: "Value", kind: kindString}, integer("percent", "Percent", 0, 100),
	}}),
}}

var updateBody = &body{items: []item{
	attribute("stagger", "Stagger", kindDuration), integer("max_parallel", "MaxParallel", 0, maxCount),
	enum("health_check", "HealthCheck", "checks", "task_states", "manual"),
	attribute("min_healthy_time", "MinHealthyTime", kindDuration), attribute("healthy_deadline", "HealthyDeadline", kindDuration),
	attribute("progress_deadline", "ProgressDeadline", kindDuration), integer("canary", "Canary", 0, maxCount),
	attribute("auto_revert", "AutoRevert", kindBool), attribute("auto_promote", "AutoPromote", kindBool),
}}

var migrateBody = &body{items: []item{
	integer("max_parallel", "MaxParallel", 0, maxCount), enum("health_check", "HealthCheck", "checks", "task_states"),
	attribute("min_healthy_time", "MinHealthyTime", kindDuration), attribute("healthy_deadline", "HealthyDeadline", kindDuration),
}}

var restartBody = &body{items: []item{
	attribute("interval", "Interval", kindDuration), integer("attempts", "Attempts", 0, maxCount), attribute("delay", "Delay", kindDuration),
	enum("mode", "Mode", "delay", "fail"), attribute("render_templates", "RenderTemplates", kindBool),
}}

var rescheduleBody = &body{items: []item{
	integer("attempts", "Attempts", 0, maxCount), attribute("interval", "Interval", kindDuration), attribute("delay", "Delay", kindDuration),
	enum("delay_function", "DelayFunction", "constant", "exponential", "fibonacci"),
	attribute("max_delay", "MaxDelay", kindDuration), attribute("unlimited", "Unlimited", kindBool),
}}

var resourcesBody = &body{items: appendItems([]item{
	integer("cpu", "CPU", 0, maxCount), integer("cores", "Cores", 0, maxCount),
	integer("memory", "MemoryMB", 0, maxCount), integer("memory_max", "MemoryMaxMB", 0, maxCount),
	integer("disk", "DiskMB", 0, maxCount), integer("iops", "IOPS", 0, maxCount), integer("secrets", "SecretsMB", 0, maxCount),
	blockList("device", "Devices", &body{labelField: "Name", items: []item{
		{jsonName: "Name", kind: kindString}, integer("count", "Count", 0, 128),
		blockList("constraint", "Constraints", constraintBody), blockList("affinity", "Affinities", affinityBody),
	}}),
}, opaqueItems([2]string{"network", "Networks"}, [2]string{"numa", "NUMA"}))}

var taskBody = &body{labelField: "Name", items: appendItems([]item{
	{jsonName: "Name", kind: kindString},
	attribute("driver", "Driver", kindString), attribute("user", "User", kindString),
	attribute("config", "Config", kindAnyMap), attribute("env", "Env", kindStringMap), attribute("meta", "Meta", kindStringMap),
	block("resources", "Resources", resourcesBody),
	blockList("constraint", "Constraints", constraintBody), blockList("affinity", "Affinities", affinityBody),
	block("restart", "RestartPolicy", restartBody),
	attribute("kill_timeout", "KillTimeout", kindDuration), attribute("kill_signal", "KillSignal", kindString),
	attribute("shutdown_delay", "ShutdownDelay", kindDuration), attribute("leader", "Leader", kindBool), attribute("kind", "Kind", kindString),
	block("logs", "LogConfig", &body{items: []item{
		integer("max_files", "MaxFiles", 1, maxCount), integer("max_file_size", "MaxFileSizeMB", 1, maxCount),
		attribute("enabled", "Enabled", kindBool), attribute("disabled", "Disabled", kindBool),
	}}),
}, opaqueItems([2]string{"lifecycle", "Lifecycle"}, [2]string{"service", "Services"}, [2]string{"artifact", "Artifacts"},
	[2]string{"vault", "Vault"}, [2]string{"consul", "Consul"}, [2]string{"template", "Templates"},
	[2]string{"dispatch_payload", "DispatchPayload"}, [2]string{"volume_mount", "VolumeMounts"},
	[2]string{"csi_plugin", "CSIPluginConfig"}, [2]string{"scaling", "ScalingPolicies"}, [2]string{"secret", "Secrets"},
	[2]string{"identity", "Identities"}, [2]string{"action", "Actions"}, [2]string{"schedule", "Schedule"}),
	serverFields("Identity"))}

var groupBody = &body{labelField: "Name", items: appendItems([]item{
	{jsonName: "Name", kind: kindString},
	integer("count", "Count", 0, maxCount),
	blockList("constraint", "Constraints", constraintBody), blockList("affinity", "Affinities", affinityBody),
	blockList("spread", "Spreads", spreadBody), blockList("task", "Tasks", taskBody),
	block("restart", "RestartPolicy", restartBody), block("reschedule", "ReschedulePolicy", rescheduleBody),
	block("update", "Update", updateBody), block("migrate", "Migrate", migrateBody),
	attribute("meta", "Meta", kindStringMap),
	block("ephemeral_disk", "EphemeralDisk", &body{items: []item{
		attribute("sticky", "Sticky", kindBool), attribute("migrate", "Migrate", kindBool), integer("size", "SizeMB", 0, maxCount),
	}}),
	attribute("shutdown_delay", "ShutdownDelay", kindDuration), attribute("max_run_duration", "MaxRunDuration", kindDuration),
	attribute("stop_after_client_disconnect", "StopAfterClientDisconnect", kindDuration),
	attribute("max_client_disconnect", "MaxClientDisconnect", kindDuration),
	attribute("prevent_reschedule_on_lost", "PreventRescheduleOnLost", kindBool),
}, opaqueItems([2]string{"volume", "Volumes"}, [2]string{"network", "Networks"}, [2]string{"service", "Services"},
	[2]string{"scaling", "Scaling"}, [2]string{"consul", "Consul"}, [2]string{"disconnect", "Disconnect"}))}

var jobBody = &body{labelField: "ID", items: appendItems([]item{
	attribute("id", "ID", kindString), attribute("name", "Name", kindString),
	attribute("region", "Region", kindString), attribute("namespace", "Namespace", kindString),
	enum("type", "Type", "service", "batch", "system", "sysbatch"),
	integer("priority", "Priority", 1, 100), attribute("all_at_once", "AllAtOnce", kindBool),
	attribute("datacenters", "Datacenters", kindStringList), attribute("node_pool", "NodePool", kindString),
	blockList("constraint", "Constraints", constraintBody), blockList("affinity", "Affinities", affinityBody),
	blockList("spread", "Spreads", spreadBody), blockList("group", "TaskGroups", groupBody),
	block("update", "Update", updateBody), block("migrate", "Migrate", migrateBody),
	block("reschedule", "Reschedule", rescheduleBody), attribute("meta", "Meta", kindStringMap),
	{jsonName: "Stop", kind: kindBool}, {jsonName: "ParentID", kind: kindString}, {jsonName: "Payload", kind: kindString},
}, opaqueItems([2]string{"periodic", "Periodic"}, [2]string{"parameterized", "ParameterizedJob"},
	[2]string{"multiregion", "Multiregion"}, [2]string{"ui", "UI"},
	[2]string{"vault_token", "VaultToken"}, [2]string{"consul_token", "ConsulToken"}),
	serverFields("Dispatched", "DispatchIdempotencyToken", "ConsulNamespace", "VaultNamespace", "NomadTokenID", "Status",
		"StatusDescription", "Stable", "Version", "SubmitTime", "CreateIndex", "ModifyIndex", "JobModifyIndex", "VersionTag"))}

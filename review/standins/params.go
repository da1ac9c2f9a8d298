//go:build review

package main

import (
	"aspenstall/internal/config"
	"aspenstall/internal/simulator"
)

// rilaParams are the parameters of the site rila-forecast-coop-next, with the quotas of the small site.
func rilaParams(next bool) config.Params {
	p := config.Params{Zones: []string{"plovdiv-hall", "varna-annex", "rented-north"}}
	p.Teams = []config.Team{
		{Name: "agro-desk", CPUs: 136, CPUsMax: 336},
		{Name: "marine-desk", CPUs: 48, CPUsMax: 64},
		{Name: "climate-archive", CPUs: 136, CPUsMax: 504},
	}
	p.Objectives = []config.Objective{{Kind: "deadline", Class: "ensemble-runs", Share: 0.97, Times: 1}, {Kind: "guarantee", WithinS: 5, Share: 0.92}}
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.CancelS, p.Workers.GangWaitS, p.Workers.GangPeerS = 4, 22, 42, 50, 8
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 250, 100, 16, 12
	if next {
		p.State.Next = &config.NextLimits{ValueKB: 2, TxnOps: 4}
	}
	p.Cloud.RPS, p.Cloud.ListLagS = 4, 10
	p.Limits.CPU, p.Limits.MemMB, p.Limits.MaxConnections = 0.12, 179, 2000
	p.SkewMS = 25
	return p
}

// wren is the small machine type of the rila sites.
func wren(zones []string) []simulator.MachineType {
	return []simulator.MachineType{{Name: "wren", CPUs: 4, MemGB: 16, CacheGB: 40, FetchGBps: 0.3, Price: 0.17, SpotPrice: 0.07, BootS: 2, Zones: zones}}
}

// desertParams are the parameters of the desert sites (the same in -grown and -ops).
func desertParams() config.Params {
	p := config.Params{Zones: []string{"amman-core", "aqaba-plaza", "zarqa-backup"}}
	p.Teams = []config.Team{{Name: "revenue-ops"}}
	p.Objectives = []config.Objective{{Kind: "deadline", Class: "fraud-sweep", Share: 0.975, Times: 1}}
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.CancelS, p.Workers.GangWaitS, p.Workers.GangPeerS = 3, 16, 46, 50, 8
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 150, 25, 4, 12
	p.Cloud.RPS, p.Cloud.ListLagS = 2, 4
	p.Limits.CPU, p.Limits.MemMB, p.Limits.MaxConnections = 0.24, 179, 1800
	p.SkewMS = 25
	return p
}

// falcon is the machine type of the desert sites.
func falcon(zones []string) []simulator.MachineType {
	return []simulator.MachineType{{Name: "falcon", CPUs: 32, MemGB: 256, CacheGB: 100, FetchGBps: 1, Price: 2.12, SpotPrice: 0.55, BootS: 2, Zones: zones}}
}

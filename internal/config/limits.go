package config

import "aspenstall/internal/clusterconfig"

// StateLimits are the limits of the state service that every record, transaction and rate of writes
// keeps to: the smaller of the present and the announced ones, so that what is written now stays
// valid after the change.
type StateLimits struct {
	ValueBytes int     // of a value as JSON
	TxnOps     int     // puts and deletes in a transaction
	WriteRPS   float64 // puts and deletes per second; 0 means no limit
}

// NextLimits are announced limits of the state service. 0 means that the limit doesn't change.
type NextLimits struct {
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	WriteRPS float64 `json:"write_rps,omitempty"`
}

// recordOverheadBytes is the part of a value, in bytes, that is left for the encoding around a
// record.
const recordOverheadBytes = 200

// StateLimits returns the limits that the program keeps to.
func (p *Platform) StateLimits() StateLimits {
	state := &p.Params.State
	valueKB, txnOps, writeRPS := state.ValueKB, state.TxnOps, state.WriteRPS
	if next := state.Next; next != nil {
		if next.ValueKB > 0 {
			valueKB = min(valueKB, next.ValueKB)
		}
		if next.TxnOps > 0 {
			txnOps = min(txnOps, next.TxnOps)
		}
		if next.WriteRPS > 0 && (writeRPS <= 0 || next.WriteRPS < writeRPS) {
			writeRPS = next.WriteRPS
		}
	}
	return StateLimits{ValueBytes: int(valueKB * 1024), TxnOps: txnOps, WriteRPS: writeRPS}
}

// RecordBytes returns the size of a record as JSON that is sure to fit into a value.
func (l StateLimits) RecordBytes() int { return l.ValueBytes - recordOverheadBytes }

// ConfigLimits returns the limits of the configuration's records.
func (p *Platform) ConfigLimits() clusterconfig.Limits {
	l := p.StateLimits()
	return clusterconfig.Limits{ValueBytes: l.RecordBytes(), TxnOps: l.TxnOps}
}

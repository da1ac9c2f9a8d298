package scale

import (
	"errors"
	"fmt"
	"io"
	"net"
)

// Loopback addresses, in 127.0.0.0/8. Each run on a machine has a range of its own.
const (
	maxRunsAtOnce    = 7
	octetsPerRun     = 32 // of the second octet
	firstZoneOctet   = 10 // workers of the nth zone have addresses in 127.(10+n).0.0/16 of the range
	workerPort       = 9000
	workersPerSubnet = 250 // of 256 addresses in a /24
)

// addresses are the addresses of the nth run at a time on this machine.
type addresses struct{ run int }

// errNoAddresses means that as many runs as possible are under way on this machine.
var errNoAddresses = errors.New("too many scale runs on this machine at once")

// reserveAddresses returns addresses that no other run uses until the returned value is closed.
func reserveAddresses() (addresses, io.Closer, error) {
	for run := range maxRunsAtOnce {
		a := addresses{run}
		if l, err := net.Listen("tcp", a.at(0, 4, 1, 8090)); err == nil {
			return a, l, nil
		}
	}
	return addresses{}, nil, errNoAddresses
}

// at returns an address of the run: the octets after 127, the second one relative to the run's range.
func (a addresses) at(second, third, fourth, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", a.run*octetsPerRun+second, third, fourth, port)
}

// worker returns the address of the nth worker, in the zone with an index.
func (a addresses) worker(zone, n int) string {
	return a.at(firstZoneOctet+zone, n/workersPerSubnet, n%workersPerSubnet+1, workerPort)
}

// controller returns the address at which controller i serves users and workers, cluster that for other
// controllers, and nomad that for Nomad's clients. At state and cloud it reaches the two services, and
// at peer controller j over the network.
func (a addresses) controller(i int) string { return a.at(0, 1, i+1, 8080) }
func (a addresses) cluster(i int) string    { return a.at(0, 1, i+1, 8081) }
func (a addresses) nomad(i int) string      { return a.at(0, 1, i+1, 4646) }
func (a addresses) state(i int) string      { return a.at(0, 2, i+1, 2379) }
func (a addresses) cloud(i int) string      { return a.at(0, 2, i+1, 8443) }
func (a addresses) peer(i, j int) string    { return a.at(0, 3, 16*i+j+1, 8081) }

// descriptions returns the address of the server of job descriptions.
func (a addresses) descriptions() string { return a.at(0, 2, 100, 8000) }

package protocol

// MachineType is one of the types of machines that the cloud rents out.
type MachineType struct {
	Name         string   `msgpack:"name"`
	Cores        float64  `msgpack:"cores"`
	Accelerators float64  `msgpack:"accelerators"`
	MemoryGB     float64  `msgpack:"ramGb"`
	CacheGB      float64  `msgpack:"localGb"`    // local disk for images
	FetchGBPerS  float64  `msgpack:"pullGbPerS"` // rate at which images are fetched
	Price        float64  `msgpack:"rate"`       // of an on-demand machine
	SpotPrice    float64  `msgpack:"lowPrice"`
	BootS        float64  `msgpack:"startupS"` // usual time from launch to running, in seconds
	Zones        []string `msgpack:"yards"`    // zones in which the type is offered
}

// MachineTypes is the cloud's list of machine types.
type MachineTypes struct {
	Types []MachineType `msgpack:"flavours"`
}

// LaunchRequest asks the cloud for machines. MachineIDs answers it.
type LaunchRequest struct {
	// Request identifies the request: a retry with the same value launches no further machines.
	Request string `msgpack:"hire"`
	Type    string `msgpack:"flavour"`
	Zone    string `msgpack:"yard"`
	Spot    bool   `msgpack:"borrowed"`
	Count   int    `msgpack:"number"`
}

// MachineIDs holds the IDs of launched machines, or of machines to delete.
type MachineIDs struct {
	Machines []string `msgpack:"hosts"`
}

// ListedMachine is one machine in the cloud's list.
type ListedMachine struct {
	ID    string  `msgpack:"uid"`
	Addr  string  `msgpack:"addr"`
	Type  string  `msgpack:"flavour"`
	Zone  string  `msgpack:"yard"`
	Spot  bool    `msgpack:"borrowed"`
	State string  `msgpack:"standing"`
	AgeS  float64 `msgpack:"heldS"` // seconds since the launch
}

// MachineList is one page of the cloud's list of machines.
type MachineList struct {
	Machines []ListedMachine `msgpack:"hosts"`
	More     bool            `msgpack:"more"` // there is another page
}

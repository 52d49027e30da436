package storelab

import (
	"bufio"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// daemonBytes is the approximate memory per daemon, including this process's state for it.
	daemonBytes = 48 << 20
	// maxDaemons is limited by the addresses in the daemons' /24 network.
	maxDaemons = 200

	memoryFile  = "/proc/meminfo"
	memoryField = "MemTotal:"
	kilobyte    = 1024
)

// LargeConfig returns a configuration with as many daemons as fit into half of the machine's memory.
func LargeConfig() (Config, error) {
	config := DefaultConfig()
	memory, err := machineMemory()
	if err != nil {
		return config, err
	}
	config.Daemons = int(max(uint64(config.Daemons), min(maxDaemons, memory/2/daemonBytes)))
	return config, nil
}

// machineMemory returns the total memory in bytes.
func machineMemory() (uint64, error) {
	file, err := os.Open(memoryFile)
	if err != nil {
		return 0, eris.Wrap(err, "read total memory")
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 2 || fields[0] != memoryField {
			continue
		}
		kilobytes, err := strconv.ParseUint(fields[1], 10, 64)
		return kilobytes * kilobyte, eris.Wrapf(err, "%s %s", memoryFile, memoryField)
	}
	return 0, eris.Errorf("%s has no line %s", memoryFile, memoryField)
}

package relay

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"github.com/lynxshed/lynxshed/fleet/relay/account"
)

// bootIDFile names the start of the VM: it differs for each.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// thisVM reads what this VM can show of its clock; nothing where it can't.
func thisVM() account.VM {
	data, err := os.ReadFile(bootIDFile)
	boot := strings.TrimSpace(string(data))
	if err != nil || boot == "" {
		return account.VM{}
	}
	if _, err := sinceBoot(); err != nil {
		return account.VM{}
	}
	return account.VM{Boot: strconv.FormatUint(xxhash.Sum64String(boot), 36), Steady: steady}
}

// steady is the time since the VM's start. The clock was readable when the node
// began, and can't fail after that.
func steady() time.Duration {
	d, _ := sinceBoot()
	return d
}

func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

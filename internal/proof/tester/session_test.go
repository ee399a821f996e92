package tester

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// ownSession has a process begin a session of its own. The kernel hangs up a process group that
// becomes an orphan while one of its members is stopped, as frozen processes are: without a
// session, they end when the shell that started the tests does.
func ownSession(isOwn bool) *syscall.SysProcAttr { return &syscall.SysProcAttr{Setsid: isOwn} }

const (
	// starterVariable makes the test binary start a process, stop it and end. Its value says
	// whether that process has a session of its own.
	starterVariable = "MARJORAMMOOR_TEST_STARTER"
	// jobPrefix makes it do so as a job of another process.
	jobPrefix = "job of "
)

// TestStarter is not a test of its own: TestFrozenProcessesOutliveTheirStarter runs it as a process.
func TestStarter(t *testing.T) {
	name := os.Getenv(starterVariable)
	if name == "" {
		t.Skip("run by another test")
	}
	if inner, ok := strings.CutPrefix(name, jobPrefix); ok {
		runJob(inner)
		os.Exit(0)
	}
	startStopped(name == "own")
	os.Exit(0)
}

// runJob runs a starter in a process group of its own, as a shell does. The group becomes an
// orphan when the starter ends.
func runJob(name string) {
	job := starterProcess(name, &syscall.SysProcAttr{Setpgid: true})
	job.Stdout = os.Stdout
	if err := job.Run(); err != nil {
		fmt.Println(err)
	}
}

// starterProcess returns the test binary as a starter.
func starterProcess(name string, attributes *syscall.SysProcAttr) *exec.Cmd {
	cmd := exec.Command(os.Args[0], "-test.run=^TestStarter$")
	cmd.Env = append(os.Environ(), starterVariable+"="+name)
	cmd.SysProcAttr = attributes
	return cmd
}

// startStopped starts a process, stops it and prints its ID.
func startStopped(isOwn bool) {
	cmd := exec.Command("sleep", "30")
	cmd.SysProcAttr = ownSession(isOwn)
	if err := cmd.Start(); err != nil {
		fmt.Println(err)
		return
	}
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		fmt.Println(err)
		return
	}
	for processState(cmd.Process.Pid) != "T" {
		time.Sleep(time.Millisecond)
	}
	fmt.Println(cmd.Process.Pid)
}

// processState returns the state of a process, such as S or T, or "" if there is none.
func processState(pid int) string {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	state, _, _ := strings.Cut(rest, " ")
	return state
}

// TestFrozenProcessesOutliveTheirStarter guards against frozen processes that end by a hang-up.
func TestFrozenProcessesOutliveTheirStarter(t *testing.T) {
	if processState(os.Getpid()) == "" {
		t.Skip("the state of processes is read from /proc")
	}
	for name, want := range map[string]bool{"own": true, "shared": false} {
		t.Run(name, func(t *testing.T) {
			out, err := starterProcess(jobPrefix+name, ownSession(true)).Output()
			if err != nil {
				t.Fatal(err)
			}
			pid, err := strconv.Atoi(strings.TrimSpace(string(out)))
			if err != nil {
				t.Fatalf("starter: %q: %v", out, err)
			}
			defer syscall.Kill(pid, syscall.SIGKILL) //nolint:errcheck
			time.Sleep(300 * time.Millisecond)
			if state := processState(pid); (state == "T") != want {
				t.Errorf("state %q, want a stopped process: %t", state, want)
			}
		})
	}
}

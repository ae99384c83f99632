// Package harness starts the project's own processes and small stand-ins of the platform for the cases of
// a review.
package harness

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/barleyshelf/barleyshelf/internal/transport/transporttest"
	"github.com/barleyshelf/barleyshelf/platform/platformtest"
)

const (
	fileMode   = 0o600
	folderMode = 0o700
	// binary is where the build of the deploy file puts the program, from the repository's root.
	binary = "target/barleyshelf"
	// readyPoll is the time between two questions whether a gateway is ready.
	readyPoll = 100 * time.Millisecond
)

// zones are those of a small deployment.
var zones = []string{"mvd-a", "mvd-b", "mvd-c"}

// ZoneName returns the name of a zone.
func ZoneName(number int) string { return zones[number%len(zones)] }

// Process is one process of the system.
type Process struct {
	// Node is the name of its machine and Role the role that it runs.
	Node, Role string
	// Store is the way of the process to the platform's store.
	Store *transporttest.Proxy
	// Ingress and Readiness are the addresses of a gateway, Replica that of a replica.
	Ingress, Readiness, Replica string

	settings string
	log      *os.File
	command  *exec.Cmd
	ended    chan struct{}
}

// System is the processes and the platform's store.
type System struct {
	Store              *platformtest.Store
	Gateways, Replicas []*Process

	folder    string
	addresses *transporttest.Addresses
}

// NewSystem starts a store and as many replicas and gateways as a case wants, with settings as the
// template of the deploy file gives them.
//
// prepare, if not nil, is called before the first process starts.
func NewSystem(gateways, replicas int, prepare func(*System)) (*System, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	system := &System{Store: platformtest.NewStore(), folder: folder, addresses: transporttest.NewAddresses()}
	for i := range replicas {
		process := &Process{Node: fmt.Sprintf("store-%s-%d", ZoneName(i), 1+i/len(zones)), Role: "replica"}
		if process.Replica, err = system.addresses.Next(); err != nil {
			return system, err
		}
		system.Replicas = append(system.Replicas, process)
	}
	for i := range gateways {
		process := &Process{Node: fmt.Sprintf("front-%s-%d", ZoneName(i), 1+i/len(zones)), Role: "gateway"}
		for _, address := range []*string{&process.Ingress, &process.Readiness} {
			if *address, err = system.addresses.Next(); err != nil {
				return system, err
			}
		}
		system.Gateways = append(system.Gateways, process)
	}
	for i, process := range system.all() {
		if err := system.writeSettings(process, ZoneName(i)); err != nil {
			return system, err
		}
	}
	if prepare != nil {
		prepare(system)
	}
	for _, process := range system.all() {
		if err := system.Start(process); err != nil {
			return system, err
		}
	}
	return system, nil
}

// all returns all processes.
func (s *System) all() []*Process {
	return append(s.Replicas[:len(s.Replicas):len(s.Replicas)], s.Gateways...)
}

// writeSettings writes the settings of the first start of a process.
func (s *System) writeSettings(process *Process, zone string) error {
	data := filepath.Join(s.folder, process.Node, "data")
	if err := os.MkdirAll(data, folderMode); err != nil {
		return err
	}
	metrics, err := s.addresses.Next()
	if err != nil {
		return err
	}
	if process.Store, err = transporttest.NewProxy(s.Store.Address()); err != nil {
		return err
	}
	forwarder, err := s.addresses.Next()
	if err != nil {
		return err
	}
	var seeds []string
	for _, each := range s.Replicas {
		seeds = append(seeds, each.Replica)
	}
	regions := make(map[string]string)
	for _, each := range zones {
		regions[each] = "mvd"
	}
	settings := map[string]any{
		"node": process.Node, "zone": zone, "ingress": process.Ingress, "readiness": process.Readiness, "replica": process.Replica,
		"metrics": metrics, "forwarder": forwarder, "store": process.Store.Address(), "seeds": seeds, "dataFolder": "",
		"bootstrap": true, "graceMilliseconds": 8000, "memoryMegabytes": 134, "zones": regions, "zonesBorne": 0,
	}
	if process.Role == "replica" {
		settings["dataFolder"], settings["memoryMegabytes"] = data, 144
	}
	// Each JSON text is a YAML text too.
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	process.settings = filepath.Join(s.folder, process.Node, "settings.yaml")
	return os.WriteFile(process.settings, text, fileMode)
}

// ForgetBootstrap sets the settings as they are from the second start of a process on.
func (s *System) ForgetBootstrap(process *Process) error {
	text, err := os.ReadFile(process.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(process.settings, bytes.Replace(text, []byte(`"bootstrap": true`), []byte(`"bootstrap": false`), 1), fileMode)
}

// Wipe empties the data folder of a process that does not run.
func (s *System) Wipe(process *Process) error {
	data := filepath.Join(s.folder, process.Node, "data")
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	return os.MkdirAll(data, folderMode)
}

// Start begins a life of a process with the command of the deploy file.
func (s *System) Start(process *Process) error {
	log, err := os.OpenFile(filepath.Join(s.folder, process.Node, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	command := exec.Command(binary, process.Role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BARLEYSHELF_CONFIG=" + process.settings}
	command.Stdout, command.Stderr = log, log
	// A process never outlives this one.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		log.Close()
		return err
	}
	ended := make(chan struct{})
	process.log, process.command, process.ended = log, command, ended
	go func() {
		_ = command.Wait()
		log.Close()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to a process, by its own id.
func (p *Process) Signal(signal syscall.Signal) {
	if p.command != nil {
		// A process that has just ended takes no signal.
		_ = p.command.Process.Signal(signal)
	}
}

// Kill ends a process at once.
func (p *Process) Kill() {
	if p.command != nil {
		p.Signal(syscall.SIGKILL)
		<-p.ended
	}
}

// Log returns what a process has logged.
func (s *System) Log(process *Process) []byte {
	text, err := os.ReadFile(filepath.Join(s.folder, process.Node, "log"))
	if err != nil {
		return nil
	}
	return text
}

// AwaitReady waits until each gateway says that it is ready.
func (s *System) AwaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	until := time.Now().Add(within)
	for _, gateway := range s.Gateways {
		for {
			response, err := client.Get("http://" + gateway.Readiness + "/-/ready")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s does not get ready: %s", gateway.Node, bytes.TrimSpace(s.Log(gateway)))
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// Close ends all processes and removes their folders. With KEEP=1 in the environment the folders stay.
func (s *System) Close() {
	var ending sync.WaitGroup
	for _, each := range s.all() {
		ending.Go(each.Kill)
		if each.Store != nil {
			each.Store.Close()
		}
	}
	ending.Wait()
	s.Store.Close()
	if os.Getenv("KEEP") == "1" {
		fmt.Println("kept", s.folder)
		return
	}
	os.RemoveAll(s.folder)
}

// ErrBroken is the error of a case whose rule was broken.
var ErrBroken = errors.New("the rule was broken")

// Exit ends a case: with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func Exit(err error) {
	switch {
	case err == nil:
		fmt.Println("held")
		os.Exit(0)
	case errors.Is(err, ErrBroken):
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println("could not run:", err)
	os.Exit(2)
}

// Troubled reports whether the case is to be played with its disruption.
func Troubled() bool { return os.Getenv("TROUBLE") != "0" }

// Pid returns the id of a process.
func (p *Process) Pid() int { return p.command.Process.Pid }

// neverAnswered is longer than a case takes.
const neverAnswered = time.Hour

// Silence makes the way of a process to the platform's store take what is sent and answer nothing, or ends
// that: calls from then on are answered.
func (p *Process) Silence(silent bool) {
	if silent {
		p.Store.Delay(neverAnswered)
		return
	}
	p.Store.Delay(0)
}

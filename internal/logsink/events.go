package logsink

import "github.com/barleyshelf/barleyshelf/internal/event"

// EventDropped is the number of the line that tells of dropped ones. The sink
// writes it itself: through klog it could be dropped too.
const EventDropped = 2901

var _ = event.Define(EventDropped, event.Warning, "log lines dropped", "Standard output is read too slowly. Lines of requests that ended badly are kept before others.")

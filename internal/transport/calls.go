package transport

import "connectrpc.com/connect"

// compression is the only one that connect knows by itself.
const compression = "gzip"

// ClientOptions are for calls between gateways and replicas. They offer no compression: messages
// are small, and each compressor takes about a megabyte and more time than all the
// rest of a call.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{connect.WithAcceptCompression(compression, nil, nil), connect.WithReadMaxBytes(MaxResponseBytes)}
}

// HandlerOptions are for those who answer such calls: no compression,
// and messages of up to maxMessageBytes.
func HandlerOptions(maxMessageBytes int) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompression(compression, nil, nil), connect.WithReadMaxBytes(maxMessageBytes),
	}
}

// Package bronzesocket moves UDP datagrams in batches: one system call takes up
// to MaxBatch of them. It knows nothing of what they hold.
//
// # Usage
//
//	s, err := bronzesocket.Listen("192.0.2.1:6080")
//	...
//	n, err := s.ReadBatch(ms)
//	for i := range ms[:n] {
//		// handle ms[i].Buf[:ms[i].N], which came from ms[i].Addr
//	}
//	_, err = s.WriteBatch(out)
package bronzesocket

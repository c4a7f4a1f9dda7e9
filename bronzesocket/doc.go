// Package bronzesocket reads and writes UDP datagrams in batches of up to MaxBatch a
// system call. It doesn't interpret their contents.
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

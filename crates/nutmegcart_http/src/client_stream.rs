//! A client's socket that reserves the read buffer and records what is read and written.

use std::io::Error;
use std::io::ErrorKind;
use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::client_connection::ClientConnection;

/// A socket with the account of its connection.
pub(crate) struct ClientStream {
    pub(crate) socket: TcpStream,
    pub(crate) connection: Rc<ClientConnection>,
}

impl ClientStream {
    fn check_open(&self) -> Result<()> {
        if self.connection.closing.get() {
            return Err(Error::new(
                ErrorKind::ConnectionAborted,
                "closed by a limit",
            ));
        }
        Ok(())
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.check_open()?;
        if !self.connection.reserve_read_buffer(buffer.remaining()) {
            self.check_open()?;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        self.connection.record_read(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.check_open()?;
        let written = ready!(Pin::new(&mut self.socket).poll_write(context, bytes))?;
        self.connection.record_written(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.check_open()?;
        let written = ready!(Pin::new(&mut self.socket).poll_write_vectored(context, bytes))?;
        self.connection.record_written(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.socket).poll_flush(context))?;
        self.connection.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}

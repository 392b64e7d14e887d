//! Accepts connections and closes those that the fault table selects.

use std::io;
use std::sync::Arc;

use axum::Router;
use axum::response::Response;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::Shared;
use super::routes::{CutConnection, router};

pub(crate) async fn run(
    listener: TcpListener,
    shared: Arc<Shared>,
    mut stopped: watch::Receiver<bool>,
) {
    let router = router(shared);
    let stop = stopped.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(connection(stream, router.clone(), stop.clone()));
                }
            }
            _ = stopped.wait_for(|s| *s) => return,
        }
    }
}

async fn connection(stream: TcpStream, router: Router, mut stopped: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| answer(router.clone(), request));
    let serve = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = serve => {}
        _ = stopped.wait_for(|s| *s) => {}
    }
}

async fn answer(router: Router, request: Request<Incoming>) -> io::Result<Response> {
    let response = match TowerToHyperService::new(router).call(request).await {
        Ok(response) => response,
        Err(never) => match never {},
    };
    if response.extensions().get::<CutConnection>().is_some() {
        return Err(io::Error::other("connection closed by the fault table"));
    }
    Ok(response)
}

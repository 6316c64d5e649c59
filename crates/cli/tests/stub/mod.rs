//! A server with fixed responses in place of planners and entries.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;

/// Serves `responses`, each a method and path with its status and body, and returns the base URL.
pub fn serve(responses: Vec<(&'static str, u16, String)>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            respond(stream.unwrap(), &responses);
        }
    });
    url
}

fn respond(mut stream: TcpStream, responses: &[(&'static str, u16, String)]) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let request = line.rsplit_once(' ').unwrap().0.to_owned();
    let mut length = 0;
    loop {
        line.clear();
        reader.read_line(&mut line).unwrap();
        if line.trim().is_empty() {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
    }
    reader.read_exact(&mut vec![0; length]).unwrap();
    let response = responses.iter().find(|(path, ..)| *path == request);
    let (status, body) = response.map_or((404, ""), |(_, status, body)| (*status, body.as_str()));
    let head = format!("HTTP/1.1 {status} -\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body.as_bytes()).unwrap();
}

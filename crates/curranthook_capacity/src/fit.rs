//! Linear regression over measured points.

/// `y = intercept + slope * x`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Increase of `y` per unit of `x`.
    pub slope: f64,
    /// `y` at zero.
    pub intercept: f64,
}

impl Line {
    /// The least-squares fit to `points`; constant at their mean `y` if all have the same `x`.
    ///
    /// ```
    /// # use curranthook_capacity::fit::Line;
    /// let line = Line::fit(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
    /// assert_eq!((line.slope, line.intercept), (2.0, 1.0));
    /// ```
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let n = points.len().max(1) as f64;
        let mean_x = points.iter().map(|it| it.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|it| it.1).sum::<f64>() / n;
        let sum_of_squares: f64 = points.iter().map(|it| (it.0 - mean_x).powi(2)).sum();
        if sum_of_squares == 0.0 {
            return Self { slope: 0.0, intercept: mean_y };
        }
        let sum_of_products: f64 = points.iter().map(|it| (it.0 - mean_x) * (it.1 - mean_y)).sum();
        let slope = sum_of_products / sum_of_squares;
        Self { slope, intercept: mean_y - slope * mean_x }
    }

    /// `y` at `x`.
    ///
    /// ```
    /// # use curranthook_capacity::fit::Line;
    /// assert_eq!(Line { slope: 2.0, intercept: 1.0 }.value_at(10.0), 21.0);
    /// ```
    pub fn value_at(self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
